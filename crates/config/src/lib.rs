//! Reads and validates configuration files: box settings and bundles.
//!
//! [`table`] checks a parsed file against a description of its fields and collects every
//! [`finding`]; only a file without findings becomes data. Findings name the file, the place and
//! the remedy, and are reported together. [`settings`] reads the settings of a box of signed
//! bundles and [`bundle_file`] its bundles; [`gateway`] holds the settings of a box on the users'
//! platform.

pub mod bundle_file;
pub mod finding;
pub mod gateway;
pub mod settings;
pub mod table;
