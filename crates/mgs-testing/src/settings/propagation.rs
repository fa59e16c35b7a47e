//! Measures.
