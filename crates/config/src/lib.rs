//! Checked files: box settings and bundles.
//!
//! A file is parsed once, with places. [`table`] walks it against a description of its fields and
//! collects every finding; only a file without findings becomes data. Findings name the file, the
//! place and what to do, and are reported together.

pub mod bundle_file;
pub mod finding;
pub mod gateway;
pub mod settings;
pub mod table;
