//! What a gateway knows of the fleet: endpoints, their load, health and cached prefixes.

#![deny(missing_docs)]
#![forbid(unsafe_code)]
