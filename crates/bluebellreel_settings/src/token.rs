//! Bearer tokens, stored as hashes.

use bluebellreel_types::TeamName;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// The identity that a token authenticates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// A caller.
    Team(TeamName),
    /// A person or pipeline that operates the fleet.
    Operator(TeamName),
}

/// Table of the known tokens by their hashes.
#[derive(Clone, Debug, Default)]
pub struct TokenTable {
    entries: Vec<([u8; 32], Principal)>,
}

/// The hash of a token.
#[must_use]
pub fn hash_token(token: &str) -> [u8; 32] {
    Sha256::digest(token.as_bytes()).into()
}

/// Whether two tokens are the same, compared in constant time.
#[must_use]
pub fn is_same_token(one: &str, other: &str) -> bool {
    hash_token(one).ct_eq(&hash_token(other)).into()
}

impl TokenTable {
    /// Adds a token by its SHA-256 in hexadecimal.
    ///
    /// # Errors
    ///
    /// Fails if `hash` is not a SHA-256 in hexadecimal.
    pub fn add(&mut self, hash: &str, principal: Principal) -> Result<(), String> {
        let bytes = hex::decode(hash).map_err(|e| e.to_string())?;
        let hash = <[u8; 32]>::try_from(bytes).map_err(|_| "not 64 hexadecimal digits")?;
        self.entries.push((hash, principal));
        Ok(())
    }

    /// Returns the identity that a token authenticates.
    ///
    /// Compares the hashes in constant time and checks every entry, so that the time
    /// taken does not reveal how much of a guess was right.
    #[must_use]
    pub fn find(&self, token: &str) -> Option<&Principal> {
        let hash = hash_token(token);
        let mut found = None;
        for (known, principal) in &self.entries {
            if bool::from(known.ct_eq(&hash)) {
                found = Some(principal);
            }
        }
        found
    }

    /// Whether the table has no tokens.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_the_right_token_is_found() {
        let mut table = TokenTable::default();
        let hash = hex::encode(hash_token("secret"));
        let school = Principal::Team(TeamName::from("school"));
        table.add(&hash, school.clone()).expect("a hash");
        assert_eq!(table.find("secret"), Some(&school));
        assert_eq!(table.find("secret2"), None);
        assert!(table.add("zz", school).is_err());
    }
}
