//! In-memory fakes of the platform's services, with faults that tests switch on.
