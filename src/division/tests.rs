//! Tests of the division of engines.
