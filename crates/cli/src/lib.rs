//! The operators' command line
