-- The fee ledger lands each charge once; the filing application may be asked
-- again.
service{
  name = "ledger",
  non_idempotent = { "POST /charges", "POST /refunds" },
  timeout_ms = 5000,
}
service{ name = "filing", non_idempotent = { "POST /applications" } }
