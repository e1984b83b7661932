//! The macro that declares a section's structure, its defaults and its keys in one place.

/// How a key that is left out is treated, from the words of its declaration.
macro_rules! key_presence {
    (required $type:ty) => {
        $crate::shape::Presence::Required
    };
    (optional $type:ty) => {
        $crate::shape::Presence::Optional
    };
    (default($value:expr) $type:ty) => {
        $crate::shape::Presence::Default(|| {
            let value: $type = $value;
            serde_json::to_value(value).expect("a default is plain data")
        })
    };
}

/// The value of a field in the structure's `Default`.
macro_rules! key_value {
    (required $type:ty) => {
        <$type as $crate::section::Blank>::blank()
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
        $key:ident: $type:ty, $presence:ident $(($value:expr))?, $shape:expr;)+
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
                    $($key: $crate::section::key_value!($presence $(($value))? $type),)+
                }
            }
        }

        impl $section {
            /// The section's keys.
            pub const KEYS: &'static [$crate::shape::Key] = &[
                $($crate::shape::Key {
                    name: stringify!($key),
                    doc: &[$($doc),+],
                    shape: $shape,
                    presence: $crate::section::key_presence!($presence $(($value))? $type),
                },)+
            ];
        }
    };
}

pub(crate) use key_presence;
pub(crate) use key_value;
pub(crate) use section;

/// The value of a required key before its owner sets it.
pub(crate) trait Blank {
    /// The blank value.
    fn blank() -> Self;
}

impl Blank for String {
    fn blank() -> String {
        String::new()
    }
}

impl Blank for u64 {
    fn blank() -> u64 {
        0
    }
}

impl Blank for u32 {
    fn blank() -> u32 {
        0
    }
}

impl<T> Blank for Vec<T> {
    fn blank() -> Vec<T> {
        Vec::new()
    }
}

impl Blank for std::net::SocketAddr {
    /// Any free port of loopback.
    fn blank() -> std::net::SocketAddr {
        std::net::SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0))
    }
}
