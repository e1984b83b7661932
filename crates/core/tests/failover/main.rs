//! Tests of changes of primary: text cases of one driver, and single and random faults in a
//! simulated group.

mod cases;
mod faults;
mod group;
mod member;
mod network;
mod random;
