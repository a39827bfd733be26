//! Reads JSON documents into checked values and collects every finding with its place.
