-- Member houses. All have the same share: none may be favoured.
for _, name in ipairs{ "sahne", "perde", "kadraj" } do
  house{ name = name, share = 1 }
end
