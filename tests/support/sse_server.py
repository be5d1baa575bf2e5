"""Small server of OpenAI-style events, for tests of the HTTP client."""

import http.server
import json

EVENTS = (
    {'choices': [{'text': ' one', 'finish_reason': None}]},
    {'choices': [{'delta': {'content': ' two'}}]},
    {'choices': [{'text': '', 'finish_reason': 'length'}]},
)
REFUSAL = {'error': {'code': 201, 'name': 'KEY_MISSING', 'not_run': True}}


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers with events, or with a refusal when the key is not `key-1`."""

    def do_POST(self):
        self.rfile.read(int(self.headers['Content-Length']))
        if self.headers['Authorization'] != 'Bearer key-1':
            self.send_response(401)
            self.send_header('Retry-After', '2')
            self.end_headers()
            self.wfile.write(json.dumps(REFUSAL).encode())
            return
        self.send_response(200)
        self.send_header('Content-Type', 'text/event-stream')
        self.end_headers()
        for event in EVENTS:
            self.wfile.write(b'data: %s\n\n' % json.dumps(event).encode())
        self.wfile.write(b': a comment\n\ndata: [DONE]\n\n')


def main():
    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    print(f'listening 127.0.0.1:{server.server_port}', flush=True)
    server.serve_forever()


if __name__ == '__main__':
    main()
