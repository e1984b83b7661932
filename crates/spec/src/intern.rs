//! Small numbers that stand for large values.
//!
//! A model that drives a state machine of `skylark-core` would need that machine in every state.
//! Each machine takes few different values, so a state holds a number and the value stands here
//! once. Two values are the same if they print the same.

use std::fmt;

use skylark_core::FastMap;

/// The values by number.
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
    /// The number of a value.
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

    /// The value with this number.
    pub fn value(&self, number: u16) -> &T {
        &self.values[usize::from(number)]
    }
}
