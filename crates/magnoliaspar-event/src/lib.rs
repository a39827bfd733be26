//! A bounded ring of events and the time line merged from many instances.
