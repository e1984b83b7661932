//! PostgreSQL's types and formats for the engine's values.

use bytes::BufMut;
use bytes::BytesMut;
use rusqlite::types::Value;
use rusqlite::types::ValueRef;

use crate::target::error::TargetError;

/// The length that represents null.
const NULL_LENGTH: u32 = u32::MAX;

macro_rules! types {
    ($($(#[$doc:meta])* $name:ident = $oid:literal, $size_bytes:literal;)*) => {
        /// The supported types.
        #[derive(Clone, Copy, PartialEq, Eq, Debug)]
        pub enum Type {
            $($(#[$doc])* $name,)*
        }

        impl Type {
            /// Returns the type's object id.
            pub fn oid(self) -> u32 {
                match self {
                    $(Type::$name => $oid,)*
                }
            }

            /// Returns the size of its values in bytes; -1 if it varies.
            pub fn size_bytes(self) -> i16 {
                match self {
                    $(Type::$name => $size_bytes,)*
                }
            }

            /// Returns the type with this object id.
            pub fn from_oid(oid: u32) -> Option<Type> {
                match oid {
                    $($oid => Some(Type::$name),)*
                    _ => None,
                }
            }
        }
    };
}

types! {
    /// `boolean`
    Bool = 16, 1;
    /// `bytea`
    Bytea = 17, -1;
    /// `bigint`
    Int8 = 20, 8;
    /// `smallint`
    Int2 = 21, 2;
    /// `integer`
    Int4 = 23, 4;
    /// `text`
    Text = 25, -1;
    /// `real`
    Float4 = 700, 4;
    /// `double precision`
    Float8 = 701, 8;
    /// `varchar`
    Varchar = 1043, -1;
}

impl Type {
    /// Returns the type that a column's declaration or a cast names.
    pub fn from_declaration(declaration: &str) -> Option<Type> {
        let word = declaration.trim().to_ascii_lowercase();
        let word = word.split(['(', ' ', '[']).next().unwrap_or_default();
        Some(match word {
            "bool" | "boolean" => Type::Bool,
            "bytea" | "blob" => Type::Bytea,
            "bigint" | "int8" | "bigserial" | "serial8" => Type::Int8,
            "smallint" | "int2" | "smallserial" => Type::Int2,
            "integer" | "int" | "int4" | "serial" => Type::Int4,
            "text" | "char" | "character" => Type::Text,
            "varchar" => Type::Varchar,
            "real" | "float4" => Type::Float4,
            "double" | "float" | "float8" => Type::Float8,
            _ => return None,
        })
    }
}

/// A column of a result.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Column {
    /// The column's name.
    pub name: String,
    /// Its type.
    pub type_: Type,
}

/// Returns whether the value at an index is in binary format. There are no format codes, one for all
/// values, or one for each.
pub fn is_binary(formats: &[u16], place: usize) -> bool {
    let format = match formats {
        [] => 0,
        [all] => *all,
        each => each.get(place).copied().unwrap_or_default(),
    };
    format == 1
}

/// Writes a value with its length.
///
/// # Errors
///
/// If the value can't be represented in the binary format of the column's type.
pub fn encode(
    output: &mut BytesMut,
    value: ValueRef<'_>,
    type_: Type,
    binary: bool,
) -> Result<(), TargetError> {
    if value == ValueRef::Null {
        output.put_u32(NULL_LENGTH);
        return Ok(());
    }
    let start = output.len();
    output.put_u32(0);
    if binary {
        encode_binary(output, value, type_)?;
    } else {
        encode_text(output, value, type_);
    }
    let length = (output.len() - start - 4) as u32;
    output[start..start + 4].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

fn encode_text(output: &mut BytesMut, value: ValueRef<'_>, type_: Type) {
    match value {
        ValueRef::Null => {}
        ValueRef::Integer(number) if type_ == Type::Bool => {
            output.put_u8(if number == 0 { b'f' } else { b't' });
        }
        ValueRef::Integer(number) => put_display(output, number),
        ValueRef::Real(number) => put_display(output, number),
        ValueRef::Text(text) => output.put_slice(text),
        ValueRef::Blob(bytes) => {
            output.put_slice(b"\\x");
            for byte in bytes {
                put_display(output, format_args!("{byte:02x}"));
            }
        }
    }
}

fn put_display<T>(output: &mut BytesMut, value: T)
where
    T: std::fmt::Display,
{
    // Writing to a growing buffer can't fail.
    let _ = std::fmt::Write::write_fmt(output, format_args!("{value}"));
}

fn encode_binary(
    output: &mut BytesMut,
    value: ValueRef<'_>,
    type_: Type,
) -> Result<(), TargetError> {
    let misfit = || TargetError::BadValue(format!("a value does not fit type {type_:?}"));
    match (type_, value) {
        (Type::Bool, ValueRef::Integer(number)) => output.put_u8(u8::from(number != 0)),
        (Type::Int2, ValueRef::Integer(number)) => {
            output.put_i16(number.try_into().map_err(|_| misfit())?);
        }
        (Type::Int4, ValueRef::Integer(number)) => {
            output.put_i32(number.try_into().map_err(|_| misfit())?);
        }
        (Type::Int8, ValueRef::Integer(number)) => output.put_i64(number),
        (Type::Float4, ValueRef::Real(number)) => output.put_f32(number as f32),
        (Type::Float4, ValueRef::Integer(number)) => output.put_f32(number as f32),
        (Type::Float8, ValueRef::Real(number)) => output.put_f64(number),
        (Type::Float8, ValueRef::Integer(number)) => output.put_f64(number as f64),
        (Type::Bytea, ValueRef::Blob(bytes) | ValueRef::Text(bytes)) => output.put_slice(bytes),
        (Type::Text | Type::Varchar, value) => encode_text(output, value, type_),
        _ => return Err(misfit()),
    }
    Ok(())
}

/// Reads a parameter.
///
/// # Errors
///
/// If the bytes are no value of the type.
pub fn decode(bytes: &[u8], oid: u32, binary: bool) -> Result<Value, TargetError> {
    match (Type::from_oid(oid), binary) {
        (Some(type_), true) => decode_binary(bytes, type_),
        (Some(type_), false) => decode_text(text(bytes)?, type_),
        (None, false) => text(bytes).map(|text| Value::Text(text.to_owned())),
        (None, true) => {
            Err(TargetError::Unsupported(format!("a binary parameter of type number {oid}")))
        }
    }
}

fn text(bytes: &[u8]) -> Result<&str, TargetError> {
    str::from_utf8(bytes)
        .map_err(|_| TargetError::BadValue("a parameter's text is no UTF-8".to_owned()))
}

fn decode_text(text: &str, type_: Type) -> Result<Value, TargetError> {
    let misfit = || TargetError::BadValue(format!("invalid input for type {type_:?}: \"{text}\""));
    Ok(match type_ {
        Type::Text | Type::Varchar => Value::Text(text.to_owned()),
        Type::Int2 | Type::Int4 | Type::Int8 => {
            Value::Integer(text.trim().parse().map_err(|_| misfit())?)
        }
        Type::Float4 | Type::Float8 => Value::Real(text.trim().parse().map_err(|_| misfit())?),
        Type::Bool => match text.trim().to_ascii_lowercase().as_str() {
            "t" | "true" | "1" | "on" | "yes" | "y" => Value::Integer(1),
            "f" | "false" | "0" | "off" | "no" | "n" => Value::Integer(0),
            _ => return Err(misfit()),
        },
        Type::Bytea => Value::Blob(decode_hex(text).ok_or_else(misfit)?),
    })
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.strip_prefix("\\x")?.as_bytes();
    let digit = |byte: u8| char::from(byte).to_digit(16);
    let pairs = digits.chunks_exact(2);
    if !pairs.remainder().is_empty() {
        return None;
    }
    pairs.map(|pair| Some((digit(pair[0])? * 16 + digit(pair[1])?) as u8)).collect()
}

fn decode_binary(bytes: &[u8], type_: Type) -> Result<Value, TargetError> {
    let misfit = |_| TargetError::BadValue(format!("a parameter of type {type_:?} has a bad size"));
    Ok(match type_ {
        Type::Bool => Value::Integer(i64::from(bytes.first().is_some_and(|byte| *byte != 0))),
        Type::Int2 => Value::Integer(i16::from_be_bytes(bytes.try_into().map_err(misfit)?).into()),
        Type::Int4 => Value::Integer(i32::from_be_bytes(bytes.try_into().map_err(misfit)?).into()),
        Type::Int8 => Value::Integer(i64::from_be_bytes(bytes.try_into().map_err(misfit)?)),
        Type::Float4 => Value::Real(f32::from_be_bytes(bytes.try_into().map_err(misfit)?).into()),
        Type::Float8 => Value::Real(f64::from_be_bytes(bytes.try_into().map_err(misfit)?)),
        Type::Text | Type::Varchar => Value::Text(text(bytes)?.to_owned()),
        Type::Bytea => Value::Blob(bytes.to_vec()),
    })
}
