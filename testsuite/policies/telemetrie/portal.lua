-- The tractor portal, and the exchange of field records between services.
house{ name = "farmers", share = 3 }
house{ name = "dealers", share = 2 }

service{ name = "portal", timeout_ms = 3000 }
service{
  name = "field-records",
  non_idempotent = { "POST /records", "POST /records/*" },
  timeout_ms = 8000,
}
