//! Bringing the backend server to what the manifest wants.
