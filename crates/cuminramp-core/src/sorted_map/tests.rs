use super::SortedMap;

#[test]
fn from_iter_keeps_the_last_value_of_equal_keys() {
    let pairs = [("b", 1), ("a", 2), ("b", 3)];

    let map: SortedMap<_, _> = pairs.into_iter().collect();

    assert_eq!(map.iter().collect::<Vec<_>>(), [(&"a", &2), (&"b", &3)]);
}
