//! Tests of learnt speeds.
