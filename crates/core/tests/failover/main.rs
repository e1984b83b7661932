//! Tests of changes of primary: text cases of one driver, single faults, and random faults around a
//! small fake group.

mod cases;
mod faults;
mod group;
mod member;
mod network;
mod random;
