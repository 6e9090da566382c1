//! Rendezvous hashing: each key ranks all members by score. When a member is added or removed, only the
//! keys move for which this member ranks first.

use std::cmp::Reverse;

use xxhash_rust::xxh3::Xxh3;

/// Byte appended to each part, so that `ab` + `c` and `a` + `bc` hash differently.
const PART_TERMINATOR: u8 = 0xff;

/// Hashes the parts in order.
///
/// ```
/// use cuminramp_core::hash_parts;
/// assert_ne!(hash_parts(&["ab", "c"]), hash_parts(&["a", "bc"]));
/// ```
pub fn hash_parts(parts: &[&str]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part.as_bytes());
        hasher.update(&[PART_TERMINATOR]);
    }
    hasher.digest()
}

/// Returns the score of `member` for `key`; the member with the highest score ranks first.
///
/// ```
/// use cuminramp_core::rendezvous_score;
/// assert_eq!(rendezvous_score("team", "host"), rendezvous_score("team", "host"));
/// ```
pub fn rendezvous_score(key: &str, member: &str) -> u64 {
    hash_parts(&[key, member])
}

/// Sorts members by descending score for `key`.
///
/// ```
/// let mut members = vec!["a".to_owned(), "b".to_owned(), "c".to_owned()];
/// cuminramp_core::rank_by_score("team", &mut members, |member| member.as_str());
/// let (first, second) = (members[0].clone(), members[1].clone());
/// members.retain(|member| *member != second);
/// cuminramp_core::rank_by_score("team", &mut members, |member| member.as_str());
/// assert_eq!(members[0], first);
/// ```
pub fn rank_by_score<T>(key: &str, members: &mut [T], name_of: impl Fn(&T) -> &str) {
    members.sort_by_cached_key(|member| Reverse(rendezvous_score(key, name_of(member))));
}
