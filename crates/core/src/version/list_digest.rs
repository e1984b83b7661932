//! Compares two copies of a list without sending either.
//!
//! The entries are divided into buckets by a hash of their keys, and each bucket has a digest of its
//! entries. Whoever holds one copy sends its digests, and receives only the buckets that differ from
//! the other copy. No history is needed, so the copies may come from any two processes, as with the
//! hash trees of anti-entropy protocols (Merkle 1987, Dynamo 2007), here of depth one.

use xxhash_rust::xxh3;

/// The number of buckets. With thousands of entries, one that differs costs a hundred; the digests
/// themselves fit into one packet.
pub const BUCKETS: usize = 32;

/// Seed of the hash of keys. It is part of the protocol, as both sides must use the same buckets.
const KEY_SEED: u64 = 0x6f2b_91d4_03ce_a857;

/// The length of a bucket's digest as text.
const DIGEST_CHARS: usize = 16;

/// The digests of a list.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct ListDigest {
    buckets: [u64; BUCKETS],
}

impl ListDigest {
    /// Adds an entry. The order of entries does not matter.
    pub fn add(&mut self, key: &str, content: &[u8]) {
        let digest = &mut self.buckets[bucket_of(key)];
        *digest = digest.wrapping_add(xxh3::xxh3_64_with_seed(content, KEY_SEED));
    }

    /// Returns the buckets in which the lists differ.
    pub fn differing(&self, other: &ListDigest) -> Vec<usize> {
        (0..BUCKETS).filter(|bucket| self.buckets[*bucket] != other.buckets[*bucket]).collect()
    }

    /// Returns the digests as text of fixed length.
    pub fn to_text(&self) -> String {
        self.buckets.iter().map(|digest| format!("{digest:016x}")).collect()
    }

    /// Parses what [`ListDigest::to_text`] returned; `None` for any other text.
    pub fn parse(text: &str) -> Option<ListDigest> {
        let mut digest = ListDigest::default();
        if text.len() != BUCKETS * DIGEST_CHARS || !text.is_ascii() {
            return None;
        }
        for (index, bucket) in digest.buckets.iter_mut().enumerate() {
            let begin = index * DIGEST_CHARS;
            *bucket = u64::from_str_radix(&text[begin..begin + DIGEST_CHARS], 16).ok()?;
        }
        Some(digest)
    }
}

/// Returns the bucket of an entry.
pub fn bucket_of(key: &str) -> usize {
    xxh3::xxh3_64_with_seed(key.as_bytes(), KEY_SEED) as usize % BUCKETS
}
