//! A model engine.
