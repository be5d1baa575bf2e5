"""Builders of changes, note records and folds for tests."""

import json

from lagoonflow.releases.state import ReleaseFold
from lagoonflow.streams.messages import LogRecord

DIGEST = '{:064x}'


def put(kind, name, base=0, **spec):
    return {'put': kind, 'name': name, 'base': base, **spec}


def withdraw(kind, name, base=None):
    change = {'withdraw': kind, 'name': name}
    return change if base is None else {**change, 'base': base}


def model(name='m', base=0, **spec):
    defaults = {'version': '1', 'checkpoint': 'ck', 'memory_mb': 10}
    return put('model', name, base, **{**defaults, **spec})


def adapter(name='a', base=0, of='m', **spec):
    defaults = {'model': of, 'version': '1', 'checkpoint': 'ck-a'}
    return put('adapter', name, base, **{**defaults, **spec})


def organisation(name='o', base=0):
    return put('organisation', name, base, rate_tokens_per_s=5, burst_tokens=50)


def key(name='k', base=0, of='o', digest=1):
    hexadecimal = DIGEST.format(digest)
    return put('key', name, base, organisation=of, digest=hexadecimal)


def route(name='r', base=0, prefix='/portal', **spec):
    return put('route', name, base, prefix=prefix, service='s', **spec)


def note(note_id, *changes):
    body = {'author': 'ann', 'changes': changes}
    return json.dumps({'id': note_id, 'kind': 'note', 'body': body})


def folded(*texts):
    fold = ReleaseFold()
    for offset, text in enumerate(texts):
        fold.apply(LogRecord(offset, text))
    return fold
