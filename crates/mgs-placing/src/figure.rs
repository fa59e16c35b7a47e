//! Figures of decisions given as text, as in `open_units=1.5,hold_factor=0.5`.

/// One figure.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Figure {
    pub(crate) name: String,
    pub(crate) value: f64,
}

/// Puts the figures of `text` into `options` by `set`, which answers no to a name that it doesn't know.
pub(crate) fn apply<O>(
    mut options: O,
    text: &str,
    set: fn(&mut O, &Figure) -> bool,
) -> Result<O, String> {
    for part in text.split(',').filter(|part| !part.is_empty()) {
        let figure = figure(part)?;
        if !set(&mut options, &figure) {
            return Err(format!("there is no figure {:?}", figure.name));
        }
    }
    Ok(options)
}

fn figure(text: &str) -> Result<Figure, String> {
    let (name, value) = text
        .split_once('=')
        .ok_or_else(|| format!("{text:?} has no '='"))?;
    let value = value
        .parse()
        .map_err(|_| format!("{value:?} is no number"))?;
    let name = name.trim().to_string();
    Ok(Figure { name, value })
}
