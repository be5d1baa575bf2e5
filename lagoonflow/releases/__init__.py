"""Release notes: model, fold, publishing and checkpoints."""
