//! Keys in the key-value store.

/// Prefix of all keys that members watch: claims, members, versions, move requests and the switch record.
pub const CONTROL_PREFIX: &str = "duty/";
/// Prefix of claims on duties.
pub const CLAIM_PREFIX: &str = "duty/claim/";
/// Prefix of the records of members that are up.
pub const MEMBER_PREFIX: &str = "duty/member/";
/// Prefix of the keys that name each member that has ever run a version with support for duties.
pub const VERSION_PREFIX: &str = "duty/version/";
/// Prefix of operators' requests to move a duty.
pub const MOVE_PREFIX: &str = "duty/move/";
/// Key of the switch record, which is written once, when a claim for each duty replaces the former claim on all of
/// them.
pub const SWITCH: &str = "duty/switch";
/// Prefix of operation logs. They are not under the watched prefix, since only holders read them.
pub const LOG_PREFIX: &str = "duty-log/";

/// Key of the claim on a duty.
pub fn claim(duty: &str) -> String {
    format!("{CLAIM_PREFIX}{duty}")
}

/// Key of a member's record.
pub fn member(member: &str) -> String {
    format!("{MEMBER_PREFIX}{member}")
}

/// Key that shows that a member supports duties.
pub fn version(member: &str) -> String {
    format!("{VERSION_PREFIX}{member}")
}

/// Key of an operator's request to move a duty.
pub fn move_request(duty: &str) -> String {
    format!("{MOVE_PREFIX}{duty}")
}

/// Key of a duty's operation log.
pub fn log(duty: &str) -> String {
    format!("{LOG_PREFIX}{duty}")
}
