//! Tests of the division of a pool's room.
