//! For whom a caller's statements run.

use std::sync::Arc;

use skylark_core::version::organisations::Organisation;

/// For whom a caller's statements run in one version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Principal {
    /// Callers are not told apart.
    NotNeeded,
    /// An organisation, which holds the caller's key.
    Organisation(Arc<Organisation>),
    /// Nobody in particular: the route is public, and the caller has no key of an organisation.
    Nobody,
}

impl Principal {
    /// The name that targets are told; none where callers are not told apart. What runs for nobody in
    /// particular runs under the VM's name, since it must not run on an organisation's connection.
    pub fn user<'a>(&'a self, vm: &'a Arc<str>) -> Option<&'a Arc<str>> {
        match self {
            Principal::NotNeeded => None,
            Principal::Organisation(organisation) => Some(&organisation.name),
            Principal::Nobody => Some(vm),
        }
    }

    /// Whether two are the same for targets. A changed limit or another key makes no difference to them.
    pub fn is_same_user(&self, other: &Principal) -> bool {
        match (self, other) {
            (Principal::Organisation(one), Principal::Organisation(other)) => {
                one.name == other.name
            }
            _ => self == other,
        }
    }
}
