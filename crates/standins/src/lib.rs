//! Small stand-ins for the outside systems that eelgrasshold meets.

pub mod model;
