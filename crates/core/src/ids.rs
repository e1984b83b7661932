//! Entity references: small typed indices that identify the named objects of one topology version.
//!
//! Names are interned once, when a [`Topology`](crate::version::topology::Topology) is built.
//! An index is only valid for the version that issued it.

use std::fmt;

macro_rules! entity_id {
    ($(#[$doc:meta])* $name:ident, $prefix:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl $name {
            /// Returns the index of this entity in a dense table.
            pub fn index(self) -> usize {
                self.0 as usize
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!($prefix, "{}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }
    };
}

entity_id! {
    /// A database group: one primary and its replicas.
    GroupId, "group"
}
entity_id! {
    /// A database of a group.
    TargetId, "target"
}
entity_id! {
    /// An entry VM, which runs one proxy.
    VmId, "vm"
}
entity_id! {
    /// An availability zone.
    ZoneId, "zone"
}
entity_id! {
    /// A class of requests; connections are shared between classes by weight.
    ClassId, "class"
}
entity_id! {
    /// A kind of read, which bounds the age of the data read.
    ReadKindId, "kind"
}
