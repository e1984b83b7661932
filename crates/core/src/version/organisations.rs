//! Organisations, their API keys and their limits of operations.
//!
//! Only digests of keys are stored. A digest is enough to verify a key that a caller presents, and whoever
//! reads a message between VMs or a memory dump can't recover the key from it.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use crate::FastMap;
use crate::version::map_changes;
use crate::version::map_changes::ByName;

/// The SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Prints only the first two bytes, which are enough to compare digests in a debugger.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({:02x}{:02x}..)", self.0[0], self.0[1])
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// An error from parsing a key digest.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct InvalidDigest;

impl fmt::Display for InvalidDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest has 64 hexadecimal digits")
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = InvalidDigest;

    fn try_from(text: String) -> Result<KeyDigest, InvalidDigest> {
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return Err(InvalidDigest);
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| InvalidDigest)?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(KeyDigest(bytes))
    }
}

/// The limit of operations of an organisation, counted over all VMs.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct RateLimit {
    /// The sustained rate, in thousandths of an operation per second.
    pub rate_milli_per_s: u64,
    /// The burst that is allowed after idle time, in thousandths of an operation.
    pub burst_milli: u64,
}

/// One organisation.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Organisation {
    /// The name, by which targets identify the organisation.
    pub name: Arc<str>,
    /// The digests of its keys, sorted.
    pub keys: Vec<KeyDigest>,
    /// The limit of operations; `None` for unlimited.
    pub limit: Option<RateLimit>,
}

/// All organisations of one version of the configuration.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
#[serde(from = "Vec<Arc<Organisation>>", into = "Vec<Arc<Organisation>>")]
pub struct Organisations {
    by_name: ByName<Organisation>,
    by_key: FastMap<KeyDigest, Arc<Organisation>>,
}

impl From<Vec<Arc<Organisation>>> for Organisations {
    /// If several organisations have the same name, the last one is used.
    fn from(all: Vec<Arc<Organisation>>) -> Organisations {
        let by_name = all.into_iter().map(|it| (Arc::clone(&it.name), it));
        by_name.collect::<ByName<Organisation>>().into()
    }
}

impl From<ByName<Organisation>> for Organisations {
    /// A key that two organisations list belongs to the one whose name sorts first, so that all VMs agree.
    fn from(by_name: ByName<Organisation>) -> Organisations {
        let mut sorted: Vec<&Arc<Organisation>> = by_name.values().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let mut by_key = FastMap::default();
        for organisation in sorted {
            for key in &organisation.keys {
                by_key.entry(*key).or_insert_with(|| Arc::clone(organisation));
            }
        }
        Organisations { by_name, by_key }
    }
}

impl From<Organisations> for Vec<Arc<Organisation>> {
    fn from(organisations: Organisations) -> Vec<Arc<Organisation>> {
        organisations.by_name.into_values().collect()
    }
}

impl Organisations {
    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether there are no organisations.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(&key)
    }

    /// Returns the organisation with this name.
    pub fn named(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns whether any key of this version is revoked or assigned to another organisation in `next`.
    pub fn any_key_revoked_in(&self, next: &Organisations) -> bool {
        let is_kept = |key: &KeyDigest, holder: &Organisation| {
            next.by_key.get(key).is_some_and(|next| next.name == holder.name)
        };
        self.by_key.iter().any(|(key, holder)| !is_kept(key, holder))
    }

    /// Returns the changes that turn this version into `next`.
    pub fn changes_to(&self, next: &Organisations) -> OrganisationChanges {
        OrganisationChanges {
            written: map_changes::written(&self.by_name, &next.by_name),
            removed: map_changes::removed(&self.by_name, &next.by_name),
        }
    }

    /// Returns this version with the changes applied.
    pub fn with(&self, changes: &OrganisationChanges) -> Organisations {
        let OrganisationChanges { written, removed } = changes;
        map_changes::applied(&self.by_name, written, removed, |it| &it.name).into()
    }
}

/// The changes between two versions.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct OrganisationChanges {
    /// The organisations that are new or differ.
    pub written: Vec<Arc<Organisation>>,
    /// The names of the removed organisations.
    pub removed: Vec<Arc<str>>,
}

/// Deserializes a field that may be null but not missing. A process of an earlier version omits the field;
/// if that were accepted as null, this process would serve callers without a key.
///
/// # Errors
///
/// Returns an error if the field is missing or invalid.
pub fn present<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Option::deserialize(deserializer)
}
