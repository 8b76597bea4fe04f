//! Behaviour of the controller with scripted evidence, in virtual time.

mod bench;
mod controller;
mod postings;
