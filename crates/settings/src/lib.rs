//! Checked settings of the skylarklb programs.
