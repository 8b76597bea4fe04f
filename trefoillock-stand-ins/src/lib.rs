//! Placeholder.
pub mod moves_lab;
