//! Whole-number settings of a role, each declared once with flag, help, bounds and the field of the
//! options that it sets.

use clap::Arg;

use super::value_argument;
use super::SettingValues;

/// Upper bound of settings in milliseconds: one day.
pub const MS_MAX: u64 = 86_400_000;

/// A whole-number setting of a role with the settings `Options`. Its default is the value that the
/// field has in the default `Options`.
pub struct NumberSetting<Options> {
    /// Flag, without the leading dashes.
    pub flag: &'static str,
    /// Unit of the value, as shown in the help.
    pub unit: &'static str,
    /// One line of help.
    pub help: &'static str,
    /// Minimum value.
    pub min: u64,
    /// Maximum value.
    pub max: u64,
    /// Reads the field.
    pub get: fn(&Options) -> u64,
    /// Writes the field.
    pub set: fn(&mut Options, u64),
}

/// Declares the settings, with the defaults of the options.
pub fn arguments<Options: Default>(settings: &[NumberSetting<Options>]) -> Vec<Arg> {
    let defaults = Options::default();
    let argument = |setting: &NumberSetting<Options>| {
        let default = (setting.get)(&defaults).to_string();
        value_argument(setting.flag, setting.unit, setting.help).default_value(default)
    };
    settings.iter().map(argument).collect()
}

/// Reads the settings into their fields of the options.
pub fn read<Options>(
    settings: &[NumberSetting<Options>],
    values: &mut SettingValues<'_>,
    options: &mut Options,
) {
    for setting in settings {
        let given = values.number(setting.flag, setting.min..=setting.max);
        (setting.set)(options, given);
    }
}
