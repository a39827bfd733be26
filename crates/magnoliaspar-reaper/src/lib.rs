//! Finds engine memory that is held for requests that are gone.
