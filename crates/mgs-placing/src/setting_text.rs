//! Parsing of options given as text, such as `open_units=1.5,hold_factor=0.5`.

/// A setting: the name of an option and its value.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Setting {
    pub(crate) name: String,
    pub(crate) value: f64,
}

/// Applies the settings in `text` to `options`. `set` returns false for an unknown name.
pub(crate) fn apply_settings<O>(
    mut options: O,
    text: &str,
    set: fn(&mut O, &Setting) -> bool,
) -> Result<O, String> {
    for part in text.split(',').filter(|part| !part.is_empty()) {
        let setting = parse_setting(part)?;
        if !set(&mut options, &setting) {
            return Err(format!("unknown setting {:?}", setting.name));
        }
    }
    Ok(options)
}

fn parse_setting(text: &str) -> Result<Setting, String> {
    let (name, value) = text
        .split_once('=')
        .ok_or_else(|| format!("{text:?} isn't of the form name=value"))?;
    let value = value
        .parse()
        .map_err(|_| format!("{value:?} is not a number"))?;
    let name = name.trim().to_string();
    Ok(Setting { name, value })
}
