use super::ResultCode;

#[test]
fn numbers_ascend_and_the_docs_table_lists_each() {
    let table = include_str!("../../../../docs/result-codes.md");

    let numbers: Vec<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();

    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]));
    for code in ResultCode::ALL {
        let row = format!("| {} | `{}` | {} |", code.number(), code.name(), code.http_status());
        assert!(table.contains(&row), "docs/result-codes.md lacks the row {row}");
    }
}
