//! Figures of decisions given as text, as in `open_units=1.5,hold_factor=0.5`.

/// One figure.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Figure {
    pub(crate) name: String,
    pub(crate) value: f64,
}

/// Reads figures.
pub(crate) fn figures(text: &str) -> Result<Vec<Figure>, String> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    parts.map(figure).collect()
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
