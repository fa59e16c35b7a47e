//! Paths and methods of plain services: `/services/NAME/…`.

/// Start of the path of each call.
pub(crate) const PREFIX: &str = "/services/";

/// Splits a URL into the service's name and the path and query that the service is to see.
pub(crate) fn split(url: &str) -> Option<(&str, String)> {
    let rest = url.strip_prefix(PREFIX)?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, path) = rest.split_at(end);
    let slash = match path.starts_with('/') {
        true => "",
        false => "/",
    };
    (!name.is_empty()).then(|| (name, format!("{slash}{path}")))
}

/// Only methods that change nothing may run twice, unless the caller says otherwise.
pub(crate) fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}
