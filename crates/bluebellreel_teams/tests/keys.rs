//! Keys, their digests, and what they give access to.

use bluebellreel_teams::{Caller, KeyDigest, Team, Teams};
use std::sync::Arc;

fn team(name: &str, keys: &[&str]) -> Team {
    Team {
        name: name.into(),
        keys: keys.iter().map(|k| KeyDigest::of(k.as_bytes())).collect(),
        priority: None,
        limit: None,
    }
}

/// Guards against a key that stays with its former team after it has moved.
#[test]
fn a_key_belongs_to_the_team_of_the_newest_configuration() {
    let key = KeyDigest::of(b"k1");
    let holder = |teams: &Teams| teams.holder(&key).map(|t| t.name.to_string());
    let before = Teams::from(vec![team("a", &["k1", "k2"]), team("b", &[])]);
    assert_eq!(holder(&before).as_deref(), Some("a"));
    let moved = Teams::from(vec![team("a", &["k2"]), team("b", &["k1"])]);
    assert_eq!(holder(&moved).as_deref(), Some("b"));
    assert_eq!(holder(&Teams::default()), None);
}

/// Guards against keys or digests in logs of a configuration.
#[test]
fn debug_output_shows_no_digest() {
    let key = KeyDigest::of(b"k1");
    let teams = Teams::from(vec![team("a", &["k1"])]);
    let shown = format!("{teams:?} {key:?}");
    assert!(!shown.contains(&String::from(key)), "{shown}");
    assert!(!shown.contains("k1"), "{shown}");
}

#[test]
fn a_digest_survives_its_text_form() {
    let key = KeyDigest::of(b"k1");
    assert_eq!(KeyDigest::try_from(String::from(key)), Ok(key));
    assert!(KeyDigest::try_from("k1".to_owned()).is_err());
}

/// Guards against access to the jobs of another team.
#[test]
fn jobs_are_accessible_to_their_team_only() {
    let a = Caller::Team(Arc::from("a"));
    assert!(a.may_access(Some("a")));
    assert!(!a.may_access(Some("b")));
    assert!(a.may_access(None));
    assert!(!Caller::Anonymous.may_access(Some("a")));
    assert!(Caller::Anonymous.may_access(None));
    assert!(Caller::Unrestricted.may_access(Some("a")));
}
