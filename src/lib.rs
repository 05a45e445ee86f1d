//! A scheduler for colocated latency-critical and batch work.
//!
//! The crate is laid out by life span: what lives for a [`request`], a [`connection`], a
//! [`version`] of the configuration, or the whole [`process`]. The outside systems are reached
//! through the traits of [`external`].
//!
//! Modules that decide (routing, leases, placement, …) do no input or output and read no clock:
//! time and random numbers are arguments, typed values come out.

pub mod cli;
pub mod connection;
pub mod ctl;
pub mod error;
pub mod exit_codes;
pub mod external;
pub mod findings;
pub mod ids;
pub mod platform;
pub mod process;
pub mod request;
pub mod version;
pub mod workflow;
