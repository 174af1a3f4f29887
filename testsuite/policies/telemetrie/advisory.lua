-- The advisory model. Its engines ignore fencing numbers.
model{
  name = "advisory",
  interactive_headroom = 0.15,
  max_swapping = 3,
  fence_ignored = true,
}

-- Staleness weighs more here than idle time: nobody watches at night, and a
-- night spent on an old model is lost.
trainer{
  name = "advisory-rl",
  model = "advisory",
  zones = { "st-georges", "beauceville", "ste-marie" },
  scorer = "reviewer",
  staleness = { versions = 1, seconds = 360 },
  share = 2,
}

-- A second trainer on the same engines, behind the first.
trainer{
  name = "advisory-eval",
  model = "advisory",
  scorer = "reviewer",
  staleness = { versions = 1, seconds = 360 },
  max_in_flight = 64,
  hedge = false,
}
