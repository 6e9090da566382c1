use super::SortedMap;

#[test]
fn the_last_of_equal_keys_stays() {
    let pairs = [("b", 1), ("a", 2), ("b", 3)];

    let map: SortedMap<_, _> = pairs.into_iter().collect();

    assert_eq!(map.iter().collect::<Vec<_>>(), [(&"a", &2), (&"b", &3)]);
}
