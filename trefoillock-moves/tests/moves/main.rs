//! The move controller with scripted evidence, in virtual time.

mod controller;
mod harness;
mod postings;
