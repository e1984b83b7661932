//! Interning of large values as small numbers.
//!
//! A model that drives a state machine of `skylark-core` would otherwise store that machine in every
//! state. Each machine has few distinct values, so each value is stored once here and states hold its
//! number. Two values are equal if their `Debug` output is equal.

use std::fmt;

use skylark_core::FastMap;

/// Distinct values, numbered from zero in the order of their first use.
#[derive(Clone, Debug)]
pub struct Interner<T> {
    values: Vec<T>,
    numbers: FastMap<String, u16>,
}

impl<T> Default for Interner<T> {
    fn default() -> Interner<T> {
        Interner { values: Vec::new(), numbers: FastMap::default() }
    }
}

impl<T> Interner<T>
where
    T: fmt::Debug,
{
    /// Returns the number of a value, which is added if it is new.
    ///
    /// # Panics
    ///
    /// Panics if there are more distinct values than `u16` can number.
    pub fn number(&mut self, value: T) -> u16 {
        let text = format!("{value:?}");
        if let Some(&number) = self.numbers.get(&text) {
            return number;
        }
        let number = u16::try_from(self.values.len()).expect("few different values");
        self.values.push(value);
        self.numbers.insert(text, number);
        number
    }

    /// Returns the value with this number.
    pub fn value(&self, number: u16) -> &T {
        &self.values[usize::from(number)]
    }
}
