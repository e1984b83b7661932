//! The macro `section!`, which declares the structure, the defaults and the keys of a section together.

/// Expands the presence keyword of a key's declaration to its [`Presence`](crate::schema::Presence).
macro_rules! key_presence {
    (required $type:ty) => {
        $crate::schema::Presence::Required
    };
    (optional $type:ty) => {
        $crate::schema::Presence::Optional
    };
    (default($value:expr) $type:ty) => {
        $crate::schema::Presence::Default(|| {
            let value: $type = $value;
            serde_json::to_value(value).expect("a default is plain data")
        })
    };
}

/// Expands the presence keyword of a key's declaration to the field's value in the structure's `Default`.
macro_rules! field_default {
    (required $type:ty) => {
        <$type as $crate::section::Placeholder>::placeholder()
    };
    (optional $type:ty) => {
        None
    };
    (default($value:expr) $type:ty) => {
        $value
    };
}

/// Declares a section as a structure. Each field has doc comments, which also go into the settings
/// reference, a type, one of the presence keywords `required`, `optional` and `default(VALUE)`, and the
/// [`Schema`](crate::schema::Schema) of its values.
macro_rules! section {
    ($(#[doc = $section_doc:literal])+ $section:ident {
        $($(#[doc = $doc:literal])+
        $key:ident: $type:ty, $presence:ident $(($value:expr))?, $schema:expr;)+
    }) => {
        $(#[doc = $section_doc])+
        #[derive(Clone, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $section {
            $($(#[doc = $doc])+ pub $key: $type,)+
        }

        impl Default for $section {
            /// Returns the defaults, with a placeholder for each required key, which has to be set before use.
            fn default() -> $section {
                $section {
                    $($key: $crate::section::field_default!($presence $(($value))? $type),)+
                }
            }
        }

        impl $section {
            /// The keys of the section, in the order of their declaration.
            pub const KEYS: &'static [$crate::schema::Key] = &[
                $($crate::schema::Key {
                    name: stringify!($key),
                    doc: &[$($doc),+],
                    schema: $schema,
                    presence: $crate::section::key_presence!($presence $(($value))? $type),
                },)+
            ];
        }
    };
}

pub(crate) use field_default;
pub(crate) use key_presence;
pub(crate) use section;

/// A type of required keys. `Default` of a section needs a value for them, although a valid settings
/// file always sets them.
pub(crate) trait Placeholder {
    /// Returns the value that stands in for a missing one.
    fn placeholder() -> Self;
}

impl Placeholder for String {
    fn placeholder() -> String {
        String::new()
    }
}

impl Placeholder for u64 {
    fn placeholder() -> u64 {
        0
    }
}

impl Placeholder for u32 {
    fn placeholder() -> u32 {
        0
    }
}

impl<T> Placeholder for Vec<T> {
    fn placeholder() -> Vec<T> {
        Vec::new()
    }
}

impl Placeholder for std::net::SocketAddr {
    /// Returns port 0 of the loopback address.
    fn placeholder() -> std::net::SocketAddr {
        std::net::SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0))
    }
}
