//! The identity under which a caller's statements run.

use std::sync::Arc;

use skylark_core::version::organisations::Organisation;

/// The identity under which a caller's statements run, in one version of the configuration.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Principal {
    /// The configuration has no organisations, so callers are not identified.
    NotNeeded,
    /// The organisation that owns the caller's key.
    Organisation(Arc<Organisation>),
    /// No organisation: the route is public, and the caller's key belongs to none.
    Nobody,
}

impl Principal {
    /// Returns the user name under which connections to targets are opened; `None` if callers are not
    /// identified. Statements without an organisation run under the VM's name, because they must not run on
    /// an organisation's connection.
    pub fn user<'a>(&'a self, vm: &'a Arc<str>) -> Option<&'a Arc<str>> {
        match self {
            Principal::NotNeeded => None,
            Principal::Organisation(organisation) => Some(&organisation.name),
            Principal::Nobody => Some(vm),
        }
    }

    /// Returns whether both have the same user name at targets. The limit and the keys of an organisation
    /// don't matter.
    pub fn is_same_user(&self, other: &Principal) -> bool {
        match (self, other) {
            (Principal::Organisation(one), Principal::Organisation(other)) => {
                one.name == other.name
            }
            _ => self == other,
        }
    }
}
