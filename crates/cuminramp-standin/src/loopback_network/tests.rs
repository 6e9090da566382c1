use super::{LoopbackNetwork, MAX_HOSTS};

/// Guards against two test runs whose hosts listen on the same addresses and receive each other's requests.
#[test]
fn a_held_network_is_taken_by_nobody_else_until_it_is_dropped() {
    let seed = u64::from(std::process::id());

    let first = LoopbackNetwork::take(seed).unwrap();
    let second = LoopbackNetwork::take(seed).unwrap();
    let first_ip = first.host_ip(0).unwrap();
    drop(first);
    let third = LoopbackNetwork::take(seed).unwrap();

    assert_ne!(second.host_ip(0).unwrap(), first_ip);
    assert_eq!(third.host_ip(0).unwrap(), first_ip);
}

#[test]
fn a_network_has_a_limited_number_of_hosts() {
    let network = LoopbackNetwork::take(0).unwrap();

    assert!(network.host_ip(MAX_HOSTS - 1).is_some());
    assert_eq!(network.host_ip(MAX_HOSTS), None);
}
