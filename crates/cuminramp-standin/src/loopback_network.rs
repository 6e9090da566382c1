//! Loopback addresses that no other test run on the machine uses.

use std::io;
use std::net::UdpSocket;

/// Values of the second byte of a network's addresses.
const SECOND_BYTES: std::ops::RangeInclusive<u8> = 20..=219;
/// Values of the third byte of a network's addresses.
const THIRD_BYTES: std::ops::RangeInclusive<u8> = 1..=250;
/// Last byte and port of the address that is bound to hold a network.
const LOCK_ADDRESS: (u8, u16) = (254, 7_000);
/// Number of hosts in a network.
const MAX_HOSTS: usize = 250;

/// Network `127.x.y.0/24`, held by this process until it is dropped.
///
/// Hosts of test runs listen on fixed ports, each at an address of its own. Two runs that choose the same
/// addresses would send requests to each other's hosts. So a run holds its network by a bound socket, and
/// a network that another process holds is skipped.
///
/// ```
/// use cuminramp_standin::LoopbackNetwork;
/// let (first, second) = (LoopbackNetwork::take(7)?, LoopbackNetwork::take(7)?);
/// assert_ne!(first.host_ip(0), second.host_ip(0));
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Debug)]
pub struct LoopbackNetwork {
    prefix: String,
    /// Holds the network: the address can be bound only once.
    _lock: UdpSocket,
}

impl LoopbackNetwork {
    /// Takes a network that no process holds. The search begins at a network that depends on `seed`.
    ///
    /// # Errors
    ///
    /// [`io::ErrorKind::AddrInUse`] if other processes hold all networks.
    pub fn take(seed: u64) -> io::Result<Self> {
        let thirds = u64::from(*THIRD_BYTES.end());
        let count = SECOND_BYTES.count() as u64 * thirds;
        for number in (0..count).map(|offset| (seed.wrapping_add(offset)) % count) {
            let second = u64::from(*SECOND_BYTES.start()) + number / thirds;
            let third = u64::from(*THIRD_BYTES.start()) + number % thirds;
            let prefix = format!("127.{second}.{third}");
            let (last, port) = LOCK_ADDRESS;
            if let Ok(lock) = UdpSocket::bind((format!("{prefix}.{last}"), port)) {
                return Ok(LoopbackNetwork { prefix, _lock: lock });
            }
        }
        Err(io::Error::new(io::ErrorKind::AddrInUse, "other processes hold all loopback networks"))
    }

    /// Returns the IP address of a host by its index; `None` from index 250 on.
    pub fn host_ip(&self, index: usize) -> Option<String> {
        (index < MAX_HOSTS).then(|| format!("{}.{}", self.prefix, index + 1))
    }
}

#[cfg(test)]
mod tests;
