//! Settings that are whole numbers, each declared once: flag, help, bounds and the field it fills.

use clap::Arg;

use super::value;
use super::Values;

/// Longest time that a setting may give, in milliseconds: a day.
pub const MS_MAX: u64 = 86_400_000;

/// A whole number of a role's settings `O`, whose default is the field's own.
pub struct Number<O> {
    /// Flag, without dashes.
    pub flag: &'static str,
    /// Unit, as the help shows it.
    pub unit: &'static str,
    /// One line of help.
    pub help: &'static str,
    /// Least value.
    pub least: u64,
    /// Greatest value.
    pub most: u64,
    /// Reads the field.
    pub get: fn(&O) -> u64,
    /// Writes the field.
    pub set: fn(&mut O, u64),
}

/// Declares the numbers.
pub fn arguments<O: Default>(numbers: &[Number<O>]) -> Vec<Arg> {
    let defaults = O::default();
    let declare = |number: &Number<O>| {
        let default = (number.get)(&defaults).to_string();
        value(number.flag, number.unit, number.help).default_value(default)
    };
    numbers.iter().map(declare).collect()
}

/// Reads the numbers into their fields.
pub fn read<O>(numbers: &[Number<O>], values: &mut Values<'_>, options: &mut O) {
    for number in numbers {
        let given = values.number(number.flag, number.least..=number.most);
        (number.set)(options, given);
    }
}
