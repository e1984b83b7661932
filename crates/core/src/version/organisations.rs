//! Organisations: who holds an API key, and how many operations each may run.
//!
//! Keys are kept as digests only. A digest tells whether a key that is presented is a known one, and nobody
//! who reads a message between VMs or a memory image can present it.

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
    /// The digest of a key.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Shows the first bytes only: enough to compare two in a debugger.
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

/// A text that is no digest.
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

/// How many operations an organisation may run, over all VMs together.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Serialize, Deserialize)]
pub struct RateLimit {
    /// Thousandths of an operation per second.
    pub rate_milli_per_s: u64,
    /// How many operations it may run at once after a pause, in thousandths.
    pub burst_milli: u64,
}

/// One organisation.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Organisation {
    /// The name, which targets know it by.
    pub name: Arc<str>,
    /// The digests of its keys, sorted.
    pub keys: Vec<KeyDigest>,
    /// Its limit; none if it has none.
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
    /// Of two with the same name the later one counts.
    fn from(all: Vec<Arc<Organisation>>) -> Organisations {
        let by_name = all.into_iter().map(|it| (Arc::clone(&it.name), it));
        by_name.collect::<ByName<Organisation>>().into()
    }
}

impl From<ByName<Organisation>> for Organisations {
    /// A key that two organisations list belongs to the one whose name sorts first, on every VM.
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
    /// How many there are.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// The organisation that holds a key.
    pub fn holder(&self, key: KeyDigest) -> Option<&Arc<Organisation>> {
        self.by_key.get(&key)
    }

    /// An organisation by name.
    pub fn named(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Whether a key of this version is another organisation's or nobody's in `next`.
    pub fn any_key_revoked_in(&self, next: &Organisations) -> bool {
        let is_kept = |key: &KeyDigest, holder: &Organisation| {
            next.by_key.get(key).is_some_and(|next| next.name == holder.name)
        };
        self.by_key.iter().any(|(key, holder)| !is_kept(key, holder))
    }

    /// What turns this version into `next`.
    pub fn changes_to(&self, next: &Organisations) -> OrganisationChanges {
        OrganisationChanges {
            written: map_changes::written(&self.by_name, &next.by_name),
            removed: map_changes::removed(&self.by_name, &next.by_name),
        }
    }

    /// The version that follows from these changes.
    pub fn with(&self, changes: &OrganisationChanges) -> Organisations {
        let OrganisationChanges { written, removed } = changes;
        map_changes::applied(&self.by_name, written, removed, |it| &it.name).into()
    }
}

/// What changed between two versions.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct OrganisationChanges {
    /// Those that are new or differ.
    pub written: Vec<Arc<Organisation>>,
    /// The names of those that are gone.
    pub removed: Vec<Arc<str>>,
}

/// Reads a field that may be null but not missing. A process of an earlier version leaves it out, and would have
/// this one serve callers without a key.
///
/// # Errors
///
/// The field is missing, or can't be read.
pub fn present<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    Option::deserialize(deserializer)
}
