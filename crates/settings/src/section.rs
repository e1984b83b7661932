//! The macro that declares a section's structure, its defaults and its keys in one place.

/// How a key that is left out is treated, from the words of its declaration.
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

/// The value of a field in the structure's `Default`.
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

/// Declares a section: each field with its documentation, its type, whether it is `required`,
/// `optional` or has a `default(VALUE)`, and the [`Shape`](crate::shape::Shape) of its values.
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
            /// The defaults; a required key is blank and its owner has to set it.
            fn default() -> $section {
                $section {
                    $($key: $crate::section::field_default!($presence $(($value))? $type),)+
                }
            }
        }

        impl $section {
            /// The section's keys.
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

/// The value of a required key before its owner sets it.
pub(crate) trait Placeholder {
    /// The blank value.
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
    /// Any free port of loopback.
    fn placeholder() -> std::net::SocketAddr {
        std::net::SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0))
    }
}
