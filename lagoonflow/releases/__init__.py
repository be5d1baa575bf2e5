"""Release notes: their files, publishing, and the objects in force."""
